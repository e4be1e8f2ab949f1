"""The operators' file: its grammar, values and units, sections, and errors that give the place and the allowed value.

Read in this order: `grammar` (one line), `values` (types and units of arguments), `schema` (which directives a section
may contain), `reader` (files, includes, sections), `render` (the file and the manual as text).
"""
