"""Internal modules; programs import from :mod:`ryesaddle` instead."""
