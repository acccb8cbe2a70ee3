// Lookup tables over a configuration. Routes of one host are kept with the longest prefix first.

#include "routetable.h"

#include <algorithm>
#include <unordered_map>

namespace cornelshed {

namespace {

std::string normalisedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return name;
}

} // namespace

class RouteTable::Private
{
public:
    explicit Private(RouteTableContent given) : content(std::move(given))
    {
        for (const DirectRoute &it : content.routes)
            routesOfHost[normalisedHost(it.host)].push_back(&it);
        for (auto &[host, routes] : routesOfHost) {
            std::stable_sort(routes.begin(), routes.end(), [](const auto *a, const auto *b) {
                return a->prefix.size() > b->prefix.size();
            });
        }
        for (const Organisation &it : content.organisations) {
            for (const std::string &key : it.keys)
                organisationOfKey.emplace(key, &it);
        }
        for (const ServiceDefinition &it : content.services)
            serviceOfName.emplace(it.name, &it);
    }

    const RouteTableContent content;
    std::unordered_map<std::string, std::vector<const DirectRoute *>> routesOfHost;
    std::unordered_map<std::string, const Organisation *> organisationOfKey;
    std::unordered_map<std::string, const ServiceDefinition *> serviceOfName;
};

RouteTable::RouteTable(RouteTableContent content)
    : d(std::make_unique<const Private>(std::move(content)))
{ }

RouteTable::~RouteTable() = default;

const RouteTableContent &RouteTable::content() const
{
    return d->content;
}

const DirectRoute *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = d->routesOfHost.find(normalisedHost(host));
    if (routes == d->routesOfHost.end())
        return nullptr;
    const auto it =
            std::find_if(routes->second.begin(), routes->second.end(),
                         [&](const auto *route) { return path.starts_with(route->prefix); });
    return it == routes->second.end() ? nullptr : *it;
}

const Organisation *RouteTable::organisationOf(const std::string &key) const
{
    const auto it = d->organisationOfKey.find(key);
    return it == d->organisationOfKey.end() ? nullptr : it->second;
}

const ServiceDefinition *RouteTable::service(const std::string &name) const
{
    const auto it = d->serviceOfName.find(name);
    return it == d->serviceOfName.end() ? nullptr : it->second;
}

} // namespace cornelshed
