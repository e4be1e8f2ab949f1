"""The operators' file: its grammar, values and units, sections, and errors with place and remedy.

Read in this order: `grammar` (one line), `values` (types and units of arguments), `schema` (what a section may hold),
`reader` (files, includes, sections), `render` (the file and the manual as text).
"""
