"""Stand-ins and processes of the cases 4 to 8; standard library only."""
