// Lookup tables for a configuration. The routes of a host are sorted with the longest prefix first.

#include "routetable.h"

#include <algorithm>
#include <unordered_map>

namespace cornelshed {

std::string normalisedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return name;
}

class RouteTable::Private
{
public:
    explicit Private(RouteTableContent tableContent) : content(std::move(tableContent))
    {
        for (const DirectRoute &it : content.routes)
            routesByHost[normalisedHost(it.host)].push_back(&it);
        for (auto &[host, routes] : routesByHost) {
            std::stable_sort(routes.begin(), routes.end(), [](const auto *a, const auto *b) {
                return a->prefix.size() > b->prefix.size();
            });
        }
        for (const Organisation &it : content.organisations) {
            for (const std::string &key : it.keys)
                organisationByKey.emplace(key, &it);
        }
        for (const ServiceDefinition &it : content.services)
            serviceByName.emplace(it.name, &it);
    }

    const RouteTableContent content;
    std::unordered_map<std::string, std::vector<const DirectRoute *>> routesByHost;
    std::unordered_map<std::string, const Organisation *> organisationByKey;
    std::unordered_map<std::string, const ServiceDefinition *> serviceByName;
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
    const auto routes = d->routesByHost.find(normalisedHost(host));
    if (routes == d->routesByHost.end())
        return nullptr;
    const auto it =
            std::find_if(routes->second.begin(), routes->second.end(),
                         [&](const auto *route) { return path.starts_with(route->prefix); });
    return it == routes->second.end() ? nullptr : *it;
}

const Organisation *RouteTable::organisationOf(const std::string &key) const
{
    const auto it = d->organisationByKey.find(key);
    return it == d->organisationByKey.end() ? nullptr : it->second;
}

const ServiceDefinition *RouteTable::service(const std::string &name) const
{
    const auto it = d->serviceByName.find(name);
    return it == d->serviceByName.end() ? nullptr : it->second;
}

} // namespace cornelshed
