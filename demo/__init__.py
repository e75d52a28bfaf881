"""A small fleet of real processes that shows what flamingovalve does."""
