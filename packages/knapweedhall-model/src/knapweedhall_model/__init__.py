"""Model of the core protocol in Maude."""
