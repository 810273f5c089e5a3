"""Reading and checking of settings files and declaration files."""
