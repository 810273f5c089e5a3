"""Value types shared by the other packages."""
