"""Guards against settings errors that do not name the file, the section, the key and the fault."""

import pytest
from trefoilreach._internal.settings import SettingsError, parse_settings


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ("[nowhere]\n", "[nowhere]: unknown section"),
        ("[daemon]\ncolour = red\n", "[daemon] colour: unknown key"),
        ("[daemon]\nhost = example\n", "[daemon] host: 'example' is not allowed"),
        ("[daemon]\nhttp_port = 99999\n", "from 1 to 65535"),
        ("[fleet]\nprobe_interval = 5\n", "with a unit of ms, s, min or h"),
        ("[platform]\nkind = http\n", "[platform] url: needed"),
    ],
)
def test_error_names_the_invalid_setting(text: str, part: str) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, "x.ini")
    assert part in str(caught.value)
    assert str(caught.value).startswith("x.ini")
    assert "\n" not in str(caught.value)


def test_units_are_converted() -> None:
    settings = parse_settings("[fleet]\nprobe_interval = 500ms\n[daemon]\nbody_limit = 2MB\n")
    assert settings.fleet.probe_interval == 0.5
    assert settings.daemon.body_limit == 2 * 1024**2
