"""Events recorded in a simulation, and the digest of the actions that the decision module of commit 712515d took."""
