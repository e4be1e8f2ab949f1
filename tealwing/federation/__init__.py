"""Federation: several sites change their rules together; docs/federation.md describes the protocol.

Read in this order: `plan` and `section` (the settings), `site_delegate` (a site's proposals, pure), `service` (the
thread of the site delegate and of the federation's coordinator), `joining` (assembles the parts).
"""
