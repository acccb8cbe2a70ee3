# Decision library: no input or output, clock, thread or random source of its own.
file(STRINGS ${CMAKE_SOURCE_DIR}/src/core_sources.txt CORNELSHED_CORE_PARTS)
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/core_sources.txt)
set(CORNELSHED_CORE_FILES)
foreach(part IN LISTS CORNELSHED_CORE_PARTS)
  if(EXISTS ${CMAKE_SOURCE_DIR}/src/${part}.cpp)
    list(APPEND CORNELSHED_CORE_FILES ${CMAKE_SOURCE_DIR}/src/${part}.cpp)
  endif()
endforeach()
add_library(cornelshed_core STATIC ${CORNELSHED_CORE_FILES})
target_include_directories(cornelshed_core PUBLIC ${CMAKE_SOURCE_DIR}/src)

# GCC 12 reports the null pointers of the code it generates for coroutines. These sources are
# checked by clang-tidy instead (scripts/lint).
function(cornelshed_exempt_coroutines)
  foreach(file IN LISTS ARGN)
    file(STRINGS ${file} coroutine_lines REGEX "co_await|co_return")
    if(coroutine_lines)
      set_source_files_properties(${file} PROPERTIES
        COMPILE_OPTIONS "-Wno-zero-as-null-pointer-constant")
    endif()
  endforeach()
endfunction()
