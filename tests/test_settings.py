import pytest
from gradelug_config import InvalidConfig
from gradelug_router.settings import load_router_settings
from gradelug_scheduler.settings import load_scheduler_settings


def findings_of(load, path):
    with pytest.raises(InvalidConfig) as excinfo:
        load(path)
    return "\n".join(map(str, excinfo.value.findings))


class TestSettings:
    def test_all_findings_of_a_router_come_at_once(self, tmp_path):
        path = tmp_path / "r.toml"
        path.write_text(
            "name = ''\nhall = 'h'\nlisten = 'host:1'\nschedulers = ['127.0.0.1:x']\n"
            "[limits]\nbody_bytes = 0\n[log]\nlevel = 'loud'\n"
        )
        text = findings_of(load_router_settings, path)
        for expected in (
            "name: must not be empty",
            "listen: 'host:1' must be an IP address and a port",
            "schedulers[0]: '127.0.0.1:x'",
            "limits.body_bytes: 0 must be above 0",
            "log.level: 'loud' must be one of debug, error, info, warning",
        ):
            assert expected in text

    def test_a_misspelt_setting_gets_a_suggestion(self, tmp_path):
        path = tmp_path / "s.toml"
        path.write_text(
            "name = 's'\nhall = 'h'\nlisten = '127.0.0.1:1'\n[timing]\nleases_s = 3.0\n"
        )
        assert "unknown key 'leases_s'; did you mean 'lease_s'?" in findings_of(
            load_scheduler_settings, path
        )

    def test_a_file_that_is_no_toml_is_told_with_its_line(self, tmp_path):
        path = tmp_path / "s.toml"
        path.write_text("name = \n")
        assert "line 1" in findings_of(load_scheduler_settings, path)
