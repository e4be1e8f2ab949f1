"""Several sites under one version of the rules; the argument is in docs/federation.md."""
