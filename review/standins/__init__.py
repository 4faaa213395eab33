"""Small stand-ins for the platform of PROTOCOL.md and DEPLOY.md, used by the scripts of the cases.

Only the Python standard library is used, so there is nothing to build.
"""
