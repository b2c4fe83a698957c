"""Checks of RULES.md on what back ends and callers have seen."""

# OWNER: two back ends hold the same keys for over half a second.
MAX_BOTH_S = 0.5


def _holds(events, first, last):
    """Return when each back end held all of a range, as (begin, end)."""
    spans = {}
    for event in events:
        name = event['name']
        if event['event'] == 'started':
            # Another life holds nothing of before.
            changed, end = True, None
        elif event['event'] in ('granted', 'released'):
            changed = event['first'] <= first and last <= event['last']
            end = event.get('until') if event['event'] == 'granted' else None
        else:
            continue
        if not changed:
            continue
        held = spans.setdefault(name, [])
        at = event['at']
        if end is None:
            if held and held[-1][1] > at:
                held[-1][1] = at
        elif held and held[-1][1] >= at:
            held[-1][1] = end
        else:
            held.append([at, end])
    return spans


def find_two_holders(events):
    """Return keys that two back ends held at once for over half a second."""
    events = [e for e in events
              if e['event'] in ('granted', 'released', 'started')]
    cuts = {0, 65536}
    for event in events:
        if 'first' in event:
            cuts |= {event['first'], event['last'] + 1}
    cuts = sorted(cuts)
    broken = []
    for first, after in zip(cuts, cuts[1:]):
        spans = _holds(events, first, after - 1)
        names = sorted(spans)
        for i, one in enumerate(names):
            for other in names[i + 1:]:
                for a, b in spans[one]:
                    for c, d in spans[other]:
                        both = min(b, d) - max(a, c)
                        if both > MAX_BOTH_S:
                            broken.append(
                                f'OWNER: {one} and {other} both held '
                                f'{first}-{after - 1} for {both:.2f} s from '
                                f'{max(a, c):.3f}')
    return broken
