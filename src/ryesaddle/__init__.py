"""A layer-4 load balancer that can say what became of each request.

The command line (``ryesaddle --help``) runs the daemons and the operator's
commands. The names exported here are the coordination parts, which other
programs may embed; none of them performs I/O and each takes the present time
as an argument.
"""

__version__ = "0.1.0"
