"""The operator's folder: schema, merge, checks and diffs."""
