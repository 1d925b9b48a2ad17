"""Stand-ins and helpers shared by all tests and the demo."""
