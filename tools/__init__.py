"""Tools of the project's own development."""
