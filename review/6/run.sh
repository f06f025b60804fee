#!/bin/bash
# Case 6. TROUBLE=0 harms nothing; VARIANT is kill (the default), freeze or silence.
exec python3 -B "$(cd "$(dirname "$0")" && pwd)/case.py"
