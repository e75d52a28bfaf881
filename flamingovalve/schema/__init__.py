"""The schemas and the generator that reads them."""
