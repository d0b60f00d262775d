"""What the users' platform speaks: names, formats and calls; no decisions.

Everything is decoded once into the project's types, whose fields say what they hold.
"""
