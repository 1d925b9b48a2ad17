"""The long-running processes: composition roots and tasks."""
