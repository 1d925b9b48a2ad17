"""State of the target beside an agent, its flows, and the decisions on packets."""
