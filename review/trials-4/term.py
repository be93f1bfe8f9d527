import subprocess,os,socket,time,re,sys,threading,random,signal
env=dict(os.environ,REPOSITORY=os.getcwd(),WORK='60',WORKERS='4',KEEP='1')
os.makedirs(os.environ['OUT'],exist_ok=True)
p=subprocess.Popen([os.environ['HOLD'],'hold'],stdin=subprocess.PIPE,stdout=subprocess.PIPE,text=True,cwd=os.environ['OUT'],env=env)
ok,a,b,d=p.stdout.readline().split(); print(ok,d)
def addr(x): h,q=x.split(':'); return (h,int(q))
A=addr(a); time.sleep(4)
out=subprocess.run(['pgrep','-f','target/release/wagtail-gateway'],capture_output=True,text=True).stdout.split()
pid=[int(x) for x in out if d in open(f'/proc/{x}/environ').read() and 'front-lisse-1' in open(f'/proc/{x}/environ').read()][0]
res={}; lock=threading.Lock(); stop=time.time()+14
def rd(f):
    st=f.readline()
    if not st: return None
    h={}
    while True:
        l=f.readline()
        if l in(b'\r\n',b''): break
        k,v=l.split(b':',1); h[k.lower()]=v.strip()
    body=b''
    if h.get(b'transfer-encoding')==b'chunked':
        while True:
            l=f.readline()
            if not l: return ('cut',st,h,body)
            n=int(l,16); c=f.read(n+2)
            if len(c)<n+2: return ('cut',st,h,body)
            if n==0: break
            body+=c[:-2]
    else:
        n=int(h.get(b'content-length',0)); body=f.read(n)
        if len(body)<n: return ('cut',st,h,body)
    return ('ok',st,h,body)
def loop(n,stream):
    s=None;k=0
    while time.time()<stop:
        try:
            if s is None:
                s=socket.create_connection(A,timeout=1); s.settimeout(9); f=s.makefile('rb')
            k+=1; i=f'c{n}-{k}'
            if stream: raw=f'POST /draft/{n} HTTP/1.1\r\nHost: bulbs.example\r\nWagtailarch-Request-Id: {i}\r\nWagtailarch-Model: m\r\nWagtailarch-Token-Counts: 1460,80\r\nWagtailarch-Prompt-Prefix: aa:800,b{n}:660\r\nWagtailarch-Deadline-Ms: 8000\r\nContent-Length: 5\r\n\r\nhello'
            else: raw=f'POST /post/{n} HTTP/1.1\r\nHost: bulbs.example\r\nWagtailarch-Request-Id: {i}\r\nWagtailarch-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nhello'
            t=time.time(); s.sendall(raw.encode()); r=rd(f)
        except Exception as e:
            r=('exc',repr(e).encode(),{},b'')
        if r is None: r=('none',b'',{},b'')
        ev=r[3].count(b'id: ') if stream else 0
        with lock: res[i if k else f'x{n}']=(r[0],r[1][:30],ev,stream,t)
        if r[0]!='ok' or r[2].get(b'connection')==b'close': 
            try: s.close()
            except: pass
            s=None
            if r[0]=='exc': time.sleep(0.2)
        if not stream: time.sleep(random.random()*.05)
T=[threading.Thread(target=loop,args=(n,n%5==0)) for n in range(100)]
for t in T: t.start()
time.sleep(3); t0=time.time(); os.kill(pid,signal.SIGTERM); 
for t in T: t.join()
from collections import Counter
print(Counter((v[0],v[1],v[3]) for v in res.values()))
ran={}
for l in open(d+'/workers.log'):
    m=re.search(r'runs (\S+)',l)
    if m: ran[m.group(1)]=ran.get(m.group(1),0)+1
bad=[(i,v,round(v[4]-t0,2)) for i,v in res.items() if v[0]!='ok' and i in ran]
print('ran without whole answer',bad[:10],len(bad)); print('streams short',[(i,v) for i,v in res.items() if v[3] and v[0]=='ok' and v[1].startswith(b'HTTP/1.1 200') and v[2]!=40][:5]); print('twice',[i for i,n in ran.items() if n>1][:5])
print('503 and ran',[i for i,v in res.items() if v[1].startswith(b'HTTP/1.1 503') and i in ran][:5])
p.stdin.write('\n'); p.stdin.flush(); p.wait()
