"""Events recorded once from the laboratory, and the digest of what the module of commit 712515d did on them."""
