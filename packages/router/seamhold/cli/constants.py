"""Names and texts of the command line."""

PROGRAM = 'seamhold'
PLATFORM_VARIABLE = 'SEAMHOLD_PLATFORM'
BOX_VARIABLE = 'SEAMHOLD_BOX'
KEY_VARIABLE = 'SEAMHOLD_OPERATOR_KEY'
AUTHOR_VARIABLE = 'USER'
UNKNOWN_AUTHOR = 'unknown'
EDITOR_HINT = 'Write the tree with `seamhold settings get > tree.yaml`, edit it, then apply it.'
