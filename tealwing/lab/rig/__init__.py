"""The rig: several real processes of the program, faults between them, a history of what happened, and its report."""
