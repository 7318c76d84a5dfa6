"""Run `skylarkdoord` with a limit on its descriptors, the first argument."""

import resource
import sys

from skylarkdoord._start import main

if __name__ == "__main__":
    limit = int(sys.argv.pop(1))
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    main()
