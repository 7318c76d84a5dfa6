"""Run `skylarkdoord` with fewer open descriptors than the machine allows.

The first argument is their number.
"""

import resource
import sys

from skylarkdoord._start import main

if __name__ == "__main__":
    count = int(sys.argv.pop(1))
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))
    main()
