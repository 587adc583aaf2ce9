"""Small stand-ins for the outside systems, for tests, measurements and `make run`.

They are not part of the shipped package. Each takes its faults over HTTP: `POST /faults` with a
JSON object that replaces fields of its fault table.
"""
