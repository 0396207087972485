"""Records and the stores that keep them."""
