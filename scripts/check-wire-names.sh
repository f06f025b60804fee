#!/bin/bash
# Fails if a name of the platform's wire stands in a source outside platform/ and its tests.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Server-Leaving|Server-Limit|X-Response-Seal|X-Not-Executed|X-Prompt-Prefix|X-Expect-Instance|X-Token-Count|X-Length-Hint|X-Tenant|X-Weight-Versions|At-Server|coldRemainingMs|weightedServices|apiKeys|streamResume|gapAimMs|coldPerS|/-/(objects|report|order|picked|readiness|resolution)'
if grep -rnE "(^|[^A-Za-z0-9_])($names)([^A-Za-z0-9_]|$)" src include bench examples; then
    echo "names of the platform's wire belong into platform/" >&2
    exit 1
fi
