"""Write-once registers that make a keyed request run at most once."""
