"""Private parts of ryesaddle; import from :mod:`ryesaddle` instead."""
