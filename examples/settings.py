#!/usr/bin/env python3
"""Writes settings files for the entries and agents of an example, all on loopback addresses.

Usage: settings.py CONFIGURATION FIRST-PORT DIRECTORY [PLATFORM-URL]

Three entries a data centre and one agent an endpoint of the configuration. Ports are
counted up from the first one; the platform's default is the first port itself.
"""

import configparser
import pathlib
import sys

ENTRIES_PER_DATA_CENTRE = 3
PORTS_PER_PROCESS = 5

COMMON = """[process]
name = {name}
data_centre = {data_centre}

[listen]
{requests} = 127.0.0.1:{first}
operators = 127.0.0.1:{operators}
control = 127.0.0.1:{control}

[platform]
url = {platform}
"""

AGENT = """
[endpoint]
name = {name}
url = http://127.0.0.1:{endpoint}
probe_path = /load
"""

SEEDS = """
[seeds]
control = {seeds}
"""


def named_sections(configuration, section_type):
    prefix = section_type + " "
    return [name[len(prefix):] for name in configuration.sections() if name.startswith(prefix)]


def processes(configuration):
    """Yields the name, data centre and role of every process."""
    for data_centre in named_sections(configuration, "data_centre"):
        for number in range(1, ENTRIES_PER_DATA_CENTRE + 1):
            yield f"entry-{data_centre}-{number}", data_centre, "entry"
    for endpoint in named_sections(configuration, "endpoint"):
        yield endpoint, configuration[f"endpoint {endpoint}"]["data_centre"], "agent"


def main():
    if len(sys.argv) not in (4, 5):
        sys.exit(__doc__)
    configuration = configparser.ConfigParser()
    configuration.read(sys.argv[1])
    first_port = int(sys.argv[2])
    directory = pathlib.Path(sys.argv[3])
    platform = sys.argv[4] if len(sys.argv) == 5 else f"http://127.0.0.1:{first_port}"
    directory.mkdir(parents=True, exist_ok=True)
    members = list(processes(configuration))
    first_ports = [first_port + (index + 1) * PORTS_PER_PROCESS for index in range(len(members))]
    seeds = [f"127.0.0.1:{first + 2}" for (name, _, role), first in zip(members, first_ports)
             if role == "entry" and name.endswith("-1")]
    for (name, data_centre, role), first in zip(members, first_ports):
        text = COMMON + (AGENT if role == "agent" else "") + SEEDS
        (directory / f"{name}.ini").write_text(text.format(
            name=name, data_centre=data_centre, platform=platform, seeds=", ".join(seeds),
            requests="callers" if role == "entry" else "link", first=first,
            operators=first + 1, control=first + 2, endpoint=first + 3))


if __name__ == "__main__":
    main()
