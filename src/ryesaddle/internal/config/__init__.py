"""The operator's configuration folder: schema, validation, merging and diffs."""
