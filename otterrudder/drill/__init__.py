"""The admission controller on the simulator's wire: frames on standard input, replies on standard output."""
