"""Cap'n Proto schemas and the code generator that reads them."""
