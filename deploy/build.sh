#!/bin/sh
# Installs the pinned libraries and pearward's packages, compiled, in target/deps.
set -eu
deps=target/deps
pins=requirements/run.txt
if [ ! -e target/.libraries ] || ! cmp -s "$pins" target/.libraries; then
    rm -rf "$deps"
    python3 -m pip install -q --no-deps --require-hashes --target "$deps" -r "$pins"
    cp "$pins" target/.libraries
fi
for folder in packages/state packages/coordination packages/protocol packages/transport \
    packages/daemon platform; do
    for package in "$folder"/src/*/; do
        name=$(basename "$package")
        # Unchanged packages are kept, as running daemons may still import modules from them.
        diff -rq --exclude=__pycache__ "$package" "$deps/$name" > /dev/null 2>&1 && continue
        rm -rf "${deps:?}/$name"
        cp -r "$package" "$deps/$name"
    done
done
python3 -m compileall -q "$deps" || true
