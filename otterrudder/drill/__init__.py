"""The decisions on the simulator's wire, on standard input and output."""
