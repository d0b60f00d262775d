"""Names, formats and calls of the users' platform, without any decisions.

The platform starts and stops the entry hosts and offers the metadata store.

Data of the platform is decoded here once into the project's own types, whose field
names say what they hold.
"""
