"""Decision logic for admission, limits and upstream choice."""
