"""HTTP data path of the entry process."""
