"""History checking: the promises P1 to P8 as checks over recorded runs."""
