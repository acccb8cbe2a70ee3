// A line of a gateway's log, as key=value pairs.

#ifndef CORNELSHED_LOGEVENT_H
#define CORNELSHED_LOGEVENT_H

#include "types.h"

#include <map>
#include <string>

namespace cornelshed {

// Text before the first pair, such as the prefix of an outer log, is dropped.
struct LogEvent
{
    std::string name;                          // value of the key event
    Duration time {};                          // since 1970, by the writer's clock
    std::map<std::string, std::string> fields; // without event, time and level
    std::string text;                          // the fields as key=value pairs, in the line's order

    bool operator==(const LogEvent &) const = default;

    // Empty if there is none.
    std::string field(const std::string &key) const
    {
        const auto it = fields.find(key);
        return it == fields.end() ? std::string() : it->second;
    }
};

} // namespace cornelshed

#endif // CORNELSHED_LOGEVENT_H
