// Table of the requests that have not ended, with sorted sets for shedding and timers.

#include "requesttable.h"

namespace cornelshed {

RequestTable::ShedKey RequestTable::shedKey(const RequestArrival &arrival)
{
    return {arrival.tier, arrival.deadline, arrival.request};
}

EntryRequest *RequestTable::find(RequestId id)
{
    const auto it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : &it->second;
}

EntryRequest &RequestTable::insert(const RequestArrival &arrival)
{
    EntryRequest &request = m_requests[arrival.request];
    request.arrival = arrival;
    m_shedOrder.insert(shedKey(arrival));
    return request;
}

void RequestTable::erase(RequestId id)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
    setTimer(it->second, instantNever);
    m_shedOrder.erase(shedKey(it->second.arrival));
    m_requests.erase(it);
}

void RequestTable::setState(EntryRequest &request, RequestState state)
{
    request.state = state;
    if (state == RequestState::Waiting)
        m_shedOrder.insert(shedKey(request.arrival));
    else
        m_shedOrder.erase(shedKey(request.arrival));
}

void RequestTable::setTimer(EntryRequest &request, Instant at)
{
    if (request.timer == at)
        return;
    if (request.timer != instantNever)
        m_timers.erase({request.timer, request.arrival.request});
    request.timer = at;
    if (at != instantNever)
        m_timers.insert({at, request.arrival.request});
}

Instant RequestTable::nextTimer() const
{
    return m_timers.empty() ? instantNever : m_timers.begin()->first;
}

std::optional<RequestId> RequestTable::takeDue(Instant now)
{
    if (nextTimer() > now)
        return std::nullopt;
    const RequestId id = m_timers.begin()->second;
    setTimer(*find(id), instantNever);
    return id;
}

std::optional<RequestId> RequestTable::firstToShed() const
{
    if (m_shedOrder.empty())
        return std::nullopt;
    return std::get<RequestId>(*m_shedOrder.rbegin());
}

bool RequestTable::isFirstToShed(const RequestArrival &arrival) const
{
    return m_shedOrder.empty() || *m_shedOrder.rbegin() < shedKey(arrival);
}

std::vector<RequestId> RequestTable::waiting() const
{
    std::vector<RequestId> ids;
    ids.reserve(m_shedOrder.size());
    for (const ShedKey &it : m_shedOrder)
        ids.push_back(std::get<RequestId>(it));
    return ids;
}

std::vector<RequestId> RequestTable::dispatchedTo(ServerSlot slot) const
{
    std::vector<RequestId> ids;
    for (const auto &[id, request] : m_requests)
        if (request.state == RequestState::Dispatched && request.dispatchedTo.slot == slot)
            ids.push_back(id);
    return ids;
}

} // namespace cornelshed
