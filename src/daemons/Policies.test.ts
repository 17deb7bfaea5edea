import test from 'ava';
import { parseSettings } from './Settings.js';

const SETTINGS_TEXT = `[host]
id = host-1
zone = zone-a
port = 0
peer_port = 0
peer_key = a-shared-key-of-hosts
[platform]
store = http://127.0.0.1:1
host_list = http://127.0.0.1:2
`;

test('an unknown policy or key in the settings is an error with its line number and does not select the default', (t) => {
  const read = (more: string): unknown => {
    const parsed = parseSettings(SETTINGS_TEXT + more);
    return parsed.isOk ? parsed.value.policy : parsed.error;
  };
  t.snapshot({
    missing: read(''),
    baselines: read('[policy]\nendpoints = round-robin\nversions = cheapest\n'),
    unknownValue: read('[policy]\nendpoints = fastest\n'),
    unknownKey: read('[policy]\nendpoint = round-robin\n'),
  });
});
