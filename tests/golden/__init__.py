"""Reference files and messages that the program of commit 6fdac00 wrote, and the samples they encode."""
