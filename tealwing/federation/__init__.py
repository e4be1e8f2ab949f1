"""Several sites that change their rules together; docs/federation.md has the protocol.

Read in this order: `plan` and `section` (the settings), `site_delegate` (a site's proposals, pure), `service` (the
thread that runs them and the federation's coordinator), `joining` (puts the parts together).
"""
