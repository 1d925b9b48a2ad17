"""What an agent knows of the target beside it."""
