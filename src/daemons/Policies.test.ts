import test from 'ava';
import { parseSettings } from './Settings.js';

const TEXT = `[host]
id = host-1
zone = zone-a
port = 0
peer_port = 0
peer_key = a-shared-key-of-hosts
[platform]
store = http://127.0.0.1:1
host_list = http://127.0.0.1:2
`;

test('an unknown policy or key is refused at start with its line, not replaced by the default', (t) => {
  const read = (more: string): unknown => {
    const parsed = parseSettings(TEXT + more);
    return parsed.isOk ? parsed.value.policy : parsed.error;
  };
  t.snapshot({
    missing: read(''),
    baselines: read('[policy]\nendpoints = round-robin\nversions = cheapest\n'),
    unknownValue: read('[policy]\nendpoints = fastest\n'),
    unknownKey: read('[policy]\nendpoint = round-robin\n'),
  });
});
