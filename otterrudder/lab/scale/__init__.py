"""What agreement costs and how fast it is, from hundreds to thousands of servers."""
