"""Tools for the development of the project; they are not part of the installed package."""
