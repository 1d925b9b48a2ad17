"""Journal of request attempts and their outcomes."""
