"""Reading and checking of settings files and declarations."""
