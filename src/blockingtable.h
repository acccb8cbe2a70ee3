// Blocking wrapper around the asynchronous PlatformTable, for command-line programs.

#ifndef CORNELSHED_BLOCKINGTABLE_H
#define CORNELSHED_BLOCKINGTABLE_H

#include "table.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornelshed {

class BlockingTable
{
public:
    // pump runs the callbacks that are due; if there are none, it blocks until there is one. table
    // and whatever pump refers to must outlive this object.
    BlockingTable(PlatformTable &table, std::function<void()> pump)
        : m_table(table), m_pump(std::move(pump))
    { }

    Result<TableRows, TableError> read(std::vector<std::string> keys)
    {
        return wait<Result<TableRows, TableError>>(
                [&](auto done) { m_table.read(std::move(keys), done); });
    }

    Result<TableRows, TableError> scan(std::string prefix)
    {
        return wait<Result<TableRows, TableError>>(
                [&](auto done) { m_table.scan(std::move(prefix), done); });
    }

    std::optional<TableError> transact(TableTransaction transaction)
    {
        return wait<std::optional<TableError>>(
                [&](auto done) { m_table.transact(std::move(transaction), done); });
    }

    Result<std::string, TableError> getObject(std::string key)
    {
        return wait<Result<std::string, TableError>>(
                [&](auto done) { m_table.getObject(std::move(key), done); });
    }

    std::optional<TableError> putObject(std::string key, std::string data)
    {
        return wait<std::optional<TableError>>(
                [&](auto done) { m_table.putObject(std::move(key), std::move(data), done); });
    }

private:
    template<typename Answer, typename Start> Answer wait(Start start)
    {
        std::optional<Answer> answer;
        start([&answer](Answer it) { answer.emplace(std::move(it)); });
        while (!answer.has_value())
            m_pump();
        return std::move(*answer);
    }

    PlatformTable &m_table;
    std::function<void()> m_pump;
};

} // namespace cornelshed

#endif // CORNELSHED_BLOCKINGTABLE_H
